package org.catkinproxy.cli;

import org.catkinproxy.admin.BurnMessage;
import org.catkinproxy.admin.InstanceView;
import org.catkinproxy.error.CatkinException;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The request figures of all daemons that are listed by one of them.
 *
 * <p>Immutable and thread-safe.
 *
 * @param messages the figures of the daemons that responded
 * @param missing the listed daemons without a valid response or without a known operator address
 */
record CollectedBurnMessages(List<BurnMessage> messages, List<String> missing) {
    private static final String KIND_ENTRY = "entry";
    private static final String STATE_LEFT = "left";

    /** Copies the lists. */
    CollectedBurnMessages {
        messages = List.copyOf(messages);
        missing = List.copyOf(missing);
    }

    /**
     * Fetches the figures of the client's daemon, and of all daemons that it lists and that have
     * not left.
     */
    static CollectedBurnMessages collect(OperatorClient client) {
        List<BurnMessage> messages = new ArrayList<>();
        List<String> missing = new ArrayList<>();
        BurnMessage first = client.get("/operator/burn", BurnMessage.class);
        messages.add(first);
        for (InstanceView i : client.getList("/operator/instances", InstanceView.class)) {
            boolean otherDaemon =
                    i.kind().equals(KIND_ENTRY) && !i.instance().equals(first.instance());
            if (!otherDaemon || i.state().equals(STATE_LEFT)) {
                continue;
            }
            fetch(client, i).ifPresentOrElse(messages::add, () -> missing.add(i.instance()));
        }
        return new CollectedBurnMessages(messages, missing);
    }

    List<String> instances() {
        return messages.stream().map(BurnMessage::instance).toList();
    }

    private static Optional<BurnMessage> fetch(OperatorClient client, InstanceView instance) {
        if (instance.operatorAddress().isEmpty()) {
            return Optional.empty();
        }
        String scheme = client.firstServer().substring(0, client.firstServer().indexOf("://"));
        String baseUrl = scheme + "://" + instance.operatorAddress();
        try {
            return Optional.of(client.withServer(baseUrl).get("/operator/burn", BurnMessage.class));
        } catch (CatkinException e) {
            return Optional.empty();
        }
    }
}
