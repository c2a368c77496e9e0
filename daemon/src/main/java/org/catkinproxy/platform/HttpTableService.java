package org.catkinproxy.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;

import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.RequestBody;

import java.util.ArrayList;
import java.util.List;

/** The table service over HTTP. Safe for use by any thread. */
public final class HttpTableService implements TableService {
    private static final int CONFLICT = 409;

    private final PlatformClient mClient;

    private HttpTableService(PlatformClient client) {
        mClient = client;
    }

    /** Returns the table service behind {@code client}. */
    public static HttpTableService create(PlatformClient client) {
        return new HttpTableService(client);
    }

    @Override
    public Maybe<TableRow> get(String table, String key) {
        Request request =
                new Request.Builder().url(mClient.url("table", table, key).build()).build();
        return mClient.send(request)
                .flatMapMaybe(
                        answer -> {
                            if (answer.isNotFound()) {
                                return Maybe.empty();
                            }
                            return Maybe.just(row(mClient.read(checked(answer))));
                        });
    }

    @Override
    public Single<List<TableRow>> scan(String table, String prefix, String afterKey, int limit) {
        HttpUrl url =
                mClient.url("table", table)
                        .addQueryParameter("prefix", prefix)
                        .addQueryParameter("after", afterKey)
                        .addQueryParameter("limit", Integer.toString(limit))
                        .build();
        return mClient.send(new Request.Builder().url(url).build())
                .map(answer -> rows(mClient.read(checked(answer)).path("rows")));
    }

    @Override
    public Single<List<Long>> transact(List<RowWrite> writes) {
        ObjectNode body = mClient.mapper().createObjectNode();
        ArrayNode list = body.putArray("writes");
        for (RowWrite w : writes) {
            list.addObject()
                    .put("table", w.table())
                    .put("key", w.key())
                    .put("expect", w.expectedVersion())
                    .put("value", w.value());
        }
        Request request =
                new Request.Builder()
                        .url(mClient.url("table-transactions").build())
                        .post(RequestBody.create(mClient.write(body), mClient.json()))
                        .build();
        return mClient.send(request).map(this::versions);
    }

    private List<Long> versions(PlatformAnswer answer) {
        if (answer.status() == CONFLICT) {
            throw CatkinException.notRun(
                    ErrorCode.STORE_CONFLICT,
                    Step.STORE,
                    "table service",
                    "a row was not at the expected version");
        }
        List<Long> versions = new ArrayList<>();
        mClient.read(checked(answer)).path("versions").forEach(v -> versions.add(v.asLong()));
        return versions;
    }

    private PlatformAnswer checked(PlatformAnswer answer) {
        if (!answer.isSuccess()) {
            throw mClient.unexpected(answer);
        }
        return answer;
    }

    private static List<TableRow> rows(JsonNode list) {
        List<TableRow> rows = new ArrayList<>();
        list.forEach(r -> rows.add(row(r)));
        return rows;
    }

    private static TableRow row(JsonNode node) {
        if (!node.path("key").isTextual() || !node.path("value").isTextual()) {
            throw CatkinException.of(
                    ErrorCode.STORE_UNAVAILABLE,
                    Step.STORE,
                    "table service",
                    Outcome.UNKNOWN,
                    "the answer holds no row",
                    null);
        }
        return new TableRow(
                node.path("key").asText(),
                node.path("version").asLong(),
                node.path("value").asText());
    }
}
