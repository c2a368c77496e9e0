package org.catkinproxy.http;

import org.catkinproxy.syntax.HttpSyntax;

import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import java.io.IOException;
import java.util.List;
import java.util.Locale;

/**
 * Rejects responses whose head deviates from HTTP/1.1, which the client library would accept.
 *
 * <p>A server that writes such a head is in trouble, and its body may be cut or extended by it. So
 * may a body that ends with the connection if the request has a body: a server that closes without
 * having read that resets the connection after its end, and the reset is not seen. To be added as a
 * network interceptor. Stateless and thread-safe.
 */
public final class StrictResponseInterceptor implements Interceptor {
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;

    private StrictResponseInterceptor() {}

    /** Returns an interceptor. */
    public static StrictResponseInterceptor create() {
        return new StrictResponseInterceptor();
    }

    @Override
    public Response intercept(Chain chain) throws IOException {
        Response response = chain.proceed(chain.request());
        try {
            check(chain.request(), response);
            return response;
        } catch (IOException e) {
            response.close();
            throw e;
        }
    }

    private static void check(Request request, Response response) throws IOException {
        if (!HttpSyntax.isStatus(response.code())) {
            throw new IOException("response has the status " + response.code());
        }
        Headers headers = response.headers();
        for (int i = 0; i < headers.size(); i++) {
            checkField(headers.name(i), headers.value(i));
        }
        checkFraming(request, response);
    }

    private static void checkField(String name, String value) throws IOException {
        boolean isToken = !name.isEmpty() && name.chars().allMatch(HttpSyntax::isTokenCharacter);
        if (!isToken) {
            throw new IOException("response has an invalid name of a field");
        }
        if (value.chars().anyMatch(HttpSyntax::isControl)) {
            throw new IOException("response has a control character in the field " + name);
        }
    }

    private static void checkFraming(Request request, Response response) throws IOException {
        List<String> codings = response.headers("Transfer-Encoding");
        List<String> lengths = response.headers("Content-Length");
        if (codings.size() + lengths.size() > 1) {
            throw new IOException("response has more than one length or coding");
        }
        if (!codings.isEmpty() && !codings.get(0).toLowerCase(Locale.ROOT).equals("chunked")) {
            throw new IOException("response has an unexpected transfer coding");
        }
        if (!lengths.isEmpty() && !lengths.get(0).matches("[0-9]{1,18}")) {
            throw new IOException("response has an invalid length");
        }
        boolean isUnframed = codings.isEmpty() && lengths.isEmpty() && mayHaveBody(response);
        if (isUnframed && hasBody(request)) {
            throw new IOException("response has neither a length nor chunks and may be cut");
        }
    }

    private static boolean mayHaveBody(Response response) {
        return response.code() != STATUS_NO_CONTENT && response.code() != STATUS_NOT_MODIFIED;
    }

    private static boolean hasBody(Request request) throws IOException {
        RequestBody body = request.body();
        return body != null && body.contentLength() != 0;
    }
}
