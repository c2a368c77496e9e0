package org.catkinproxy.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.config.Configuration;
import org.catkinproxy.config.ModelAssignment;
import org.catkinproxy.config.Workspace;

import io.jooby.Context;
import io.jooby.MediaType;

/** Lists the models of the caller's workspace. Safe for use by any thread. */
final class ModelsHandler {
    private final AdmissionState mAdmissionState;

    ModelsHandler(AdmissionState admissionState) {
        mAdmissionState = admissionState;
    }

    Object handle(Context ctx) {
        Configuration configuration = mAdmissionState.configuration();
        Workspace workspace = Authenticator.authenticate(ctx, configuration);
        ObjectNode root = JsonNodeFactory.instance.objectNode().put("object", "list");
        ArrayNode data = root.putArray("data");
        for (ModelAssignment a : configuration.assignments()) {
            if (a.workspace().equals(workspace.id())) {
                data.addObject()
                        .put("id", a.weights().model().value())
                        .put("object", "model")
                        .put("created", 0)
                        .put("owned_by", workspace.id().value());
            }
        }
        ctx.setResponseType(MediaType.json);
        return ctx.send(root.toString());
    }
}
