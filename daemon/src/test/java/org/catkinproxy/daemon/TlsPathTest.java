package org.catkinproxy.daemon;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

import org.catkinproxy.settings.TlsFiles;
import org.catkinproxy.standin.engine.EngineOptions;

import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import java.io.IOException;
import java.io.InputStream;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.util.Optional;

import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509TrustManager;

/** Whole daemons with TLS towards callers, operators and each other. */
class TlsPathTest {
    private static TestCluster sCluster;
    private static OkHttpClient sClient;

    @BeforeContainer
    static void start() throws Exception {
        TlsFiles files =
                new TlsFiles(
                        file("peer-cert.pem"),
                        file("peer-key.pem"),
                        Optional.of(file("peer-trust.pem")));
        sCluster = TestCluster.start(1, 2, EngineOptions.DEFAULT, Optional.of(files));
        sClient = client();
    }

    @AfterContainer
    static void stop() {
        if (sCluster != null) {
            sCluster.close();
        }
    }

    @Example
    void callerIsAnswered() throws IOException {
        String body = "{\"model\":\"review\",\"max_tokens\":4,\"prompt\":\"Does it pass?\"}";
        Request request =
                new Request.Builder()
                        .url("https://127.0.0.1:" + sCluster.daemon(1).callerPort())
                        .build();
        Request completion =
                request.newBuilder()
                        .url(request.url().resolve("/v1/completions"))
                        .header("Authorization", "Bearer " + TestCluster.KEY_SMALL)
                        .post(RequestBody.create(body, MediaType.get("application/json")))
                        .build();
        try (Response response = sClient.newCall(completion).execute()) {
            assertThat(response.code()).isEqualTo(200);
        }
    }

    @Example
    void operatorSeesRevisionOfPeer() {
        TestCluster.await(
                () -> {
                    String revisions = get(0, "/operator/revisions");
                    return revisions.contains("{\"instance\":\"entry-1\",\"revision\":1}");
                });
    }

    private static String get(int daemon, String path) {
        Request request =
                new Request.Builder()
                        .url("https://127.0.0.1:" + sCluster.daemon(daemon).operatorPort() + path)
                        .header("Authorization", "Bearer " + TestCluster.KEY_OPERATOR)
                        .build();
        try (Response response = sClient.newCall(request).execute()) {
            return response.body().string();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns a client that trusts the test's authority; its certificates name no address. */
    private static OkHttpClient client()
            throws GeneralSecurityException, IOException, URISyntaxException {
        KeyStore trusted = KeyStore.getInstance(KeyStore.getDefaultType());
        trusted.load(null);
        try (InputStream in = Files.newInputStream(file("peer-trust.pem"))) {
            CertificateFactory factory = CertificateFactory.getInstance("X.509");
            trusted.setCertificateEntry("authority", factory.generateCertificate(in));
        }
        TrustManagerFactory trust =
                TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        trust.init(trusted);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, trust.getTrustManagers(), null);
        return new OkHttpClient.Builder()
                .sslSocketFactory(
                        context.getSocketFactory(), (X509TrustManager) trust.getTrustManagers()[0])
                .hostnameVerifier((host, session) -> true)
                .build();
    }

    private static Path file(String name) throws URISyntaxException {
        return Path.of(TlsPathTest.class.getResource("/org/catkinproxy/peer/" + name).toURI());
    }
}
