package org.catkinproxy.gateway;

import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/**
 * Responds to the platform and to operators: readiness, the instances' addresses, and metrics.
 *
 * <p>Used by the event loop only.
 */
final class StatusResponder implements Function<String, SimpleHttpServer.Response> {
    private static final String METRICS_PATH = "/metrics";

    private final Gateway mGateway;
    private final DirectoryCodec mDirectoryCodec;

    StatusResponder(Gateway gateway, DirectoryCodec directoryCodec) {
        mGateway = gateway;
        mDirectoryCodec = directoryCodec;
    }

    /** Returns the response to a request for {@code target}, a path with an optional query. */
    @Override
    public SimpleHttpServer.Response apply(String target) {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        if (mDirectoryCodec.isReadinessPath(path)) {
            return new SimpleHttpServer.Response(
                    mGateway.isReady() ? 200 : 503, "text/plain", new byte[0]);
        }
        if (mDirectoryCodec.isDirectoryPath(path)) {
            byte[] addresses =
                    mDirectoryCodec.writeAddresses(
                            mGateway.instanceRegistry().callerAddresses(),
                            mGateway.settings().directoryTtl());
            return new SimpleHttpServer.Response(200, "application/json", addresses);
        }
        if (path.equals(METRICS_PATH)) {
            byte[] metrics = mGateway.metrics().scrape(mGateway).getBytes(StandardCharsets.UTF_8);
            return new SimpleHttpServer.Response(200, "text/plain; version=0.0.4", metrics);
        }
        return new SimpleHttpServer.Response(404, "text/plain", new byte[0]);
    }
}
