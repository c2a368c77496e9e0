package org.catkinproxy.chaos;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.demo.Cluster;
import org.catkinproxy.demo.Member;
import org.catkinproxy.demo.Web;

/** Failures that stand-ins show by themselves. Stateless, so safe for use by any thread. */
final class StandinFaults {
    private StandinFaults() {}

    static void platform(RunContext context, FaultStep step, String name, double probability) {
        show(context, context.cluster().platform(), step, name, probability);
    }

    static void engine(RunContext context, FaultStep step, String name, double probability) {
        show(context, FaultKind.pick(context.cluster().engines(), step), step, name, probability);
    }

    static void service(RunContext context, FaultStep step, String name, double probability) {
        show(context, FaultKind.pick(context.cluster().services(), step), step, name, probability);
    }

    private static void show(
            RunContext context, Member member, FaultStep step, String name, double probability) {
        if (!context.holdSoon(member)) {
            return;
        }
        try {
            ObjectNode fault = Web.JSON.createObjectNode();
            fault.put("fault", name).put("probability", probability).put("seed", step.seed());
            fault.put("delayMs", step.length().toMillis());
            context.cluster().fault(member, fault);
            Cluster.sleep(step.length());
            if (!name.equals("refuse")) {
                context.cluster().clearFaults(member);
            }
        } finally {
            context.release(member);
        }
    }
}
