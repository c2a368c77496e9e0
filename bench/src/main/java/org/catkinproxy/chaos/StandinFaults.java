package org.catkinproxy.chaos;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.demo.Cluster;
import org.catkinproxy.demo.Member;
import org.catkinproxy.demo.Web;

/** Failures that stand-ins show by themselves. Stateless, so safe for use by any thread. */
final class StandinFaults {
    private StandinFaults() {}

    static void platform(Scene scene, FaultStep step, String name, double probability) {
        show(scene, scene.cluster().platform(), step, name, probability);
    }

    static void engine(Scene scene, FaultStep step, String name, double probability) {
        show(scene, FaultKind.pick(scene.cluster().engines(), step), step, name, probability);
    }

    static void service(Scene scene, FaultStep step, String name, double probability) {
        show(scene, FaultKind.pick(scene.cluster().services(), step), step, name, probability);
    }

    private static void show(
            Scene scene, Member member, FaultStep step, String name, double probability) {
        if (!scene.holdSoon(member)) {
            return;
        }
        try {
            ObjectNode fault = Web.JSON.createObjectNode();
            fault.put("fault", name).put("probability", probability).put("seed", step.seed());
            fault.put("delayMs", step.length().toMillis());
            scene.cluster().fault(member, fault);
            Cluster.sleep(step.length());
            if (!name.equals("refuse")) {
                scene.cluster().clearFaults(member);
            }
        } finally {
            scene.release(member);
        }
    }
}
