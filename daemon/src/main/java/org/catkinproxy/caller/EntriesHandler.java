package org.catkinproxy.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.jooby.Context;
import io.jooby.MediaType;

/** Lists the entry instances that a caller should use. Safe for use by any thread. */
final class EntriesHandler {
    private final EntryDirectory mDirectory;

    EntriesHandler(EntryDirectory directory) {
        mDirectory = directory;
    }

    Object handle(Context ctx) {
        String caller = ctx.query("caller").value(ctx.getRemoteAddress());
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ArrayNode entries = root.putArray("entries");
        for (EntryDirectory.Entry e : mDirectory.entries(caller)) {
            entries.addObject().put("instance", e.instance().value()).put("address", e.address());
        }
        root.put("ttl_ms", mDirectory.ttlMillis());
        ctx.setResponseType(MediaType.json);
        return ctx.send(root.toString());
    }
}
