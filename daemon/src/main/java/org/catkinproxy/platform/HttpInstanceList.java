package org.catkinproxy.platform;

import com.fasterxml.jackson.databind.JsonNode;

import org.catkinproxy.id.DataCentreId;
import org.catkinproxy.id.InstanceId;

import io.reactivex.rxjava3.core.Single;
import okhttp3.Request;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The instance list over HTTP. Safe for use by any thread. */
public final class HttpInstanceList implements InstanceList {
    private final PlatformClient mClient;

    private HttpInstanceList(PlatformClient client) {
        mClient = client;
    }

    /** Returns the instance list behind {@code client}. */
    public static HttpInstanceList create(PlatformClient client) {
        return new HttpInstanceList(client);
    }

    @Override
    public Single<List<ListedInstance>> list() {
        Request request = new Request.Builder().url(mClient.url("instances").build()).build();
        return mClient.send(request)
                .map(
                        answer -> {
                            if (!answer.isSuccess()) {
                                throw mClient.unexpected(answer);
                            }
                            return instances(mClient.read(answer).path("instances"));
                        });
    }

    private static List<ListedInstance> instances(JsonNode nodes) {
        List<ListedInstance> list = new ArrayList<>();
        nodes.forEach(n -> list.add(instance(n)));
        return list;
    }

    private static ListedInstance instance(JsonNode node) {
        return new ListedInstance(
                InstanceId.of(node.path("id").asText()),
                ListedInstance.Kind.valueOf(node.path("kind").asText().toUpperCase(Locale.ROOT)),
                node.path("address").asText(),
                node.path("peerAddress").asText(""),
                DataCentreId.of(node.path("dataCentre").asText()),
                node.path("state").asText().equals("leaving"),
                node.path("weight").asInt(1));
    }
}
