package org.catkinproxy.tls;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.http.HttpLimits;
import org.catkinproxy.http.HttpListener;

import io.reactivex.rxjava3.schedulers.TestScheduler;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509TrustManager;

class ListenerTlsTest {
    private final TestScheduler mScheduler = new TestScheduler();
    private Path mCertificate;
    private Path mKey;

    @BeforeTry
    void copyFiles() throws IOException {
        Path directory = Files.createTempDirectory("tls");
        mCertificate = directory.resolve("cert.pem");
        mKey = directory.resolve("key.pem");
        copy("peer-cert.pem", mCertificate);
        copy("peer-key.pem", mKey);
    }

    @AfterTry
    void deleteFiles() throws IOException {
        Files.deleteIfExists(mCertificate);
        Files.deleteIfExists(mKey);
    }

    @Example
    void listenerShowsReplacedCertificateWithoutRestart() throws Exception {
        ListenerTls tls = ListenerTls.open("callers", mCertificate, mKey, mScheduler);
        try (HttpListener listener =
                HttpListener.open(
                        "127.0.0.1",
                        0,
                        new HttpLimits(1_000, 8_192, 5_000, 10),
                        Optional.of(tls),
                        app -> {})) {
            assertThat(shownBy(listener.port())).isEqualTo(certificate("peer-cert.pem"));
            copy("stranger-cert.pem", mCertificate);
            copy("stranger-key.pem", mKey);
            check();
            assertThat(shownBy(listener.port())).isEqualTo(certificate("stranger-cert.pem"));
        }
    }

    @Example
    void pairInUseStaysWhileTheFilesCanNotBeUsed() throws IOException {
        ListenerTls tls = ListenerTls.open("callers", mCertificate, mKey, mScheduler);
        Object first = tls.get();
        check();
        assertThat(tls.get()).isSameInstanceAs(first);
        Files.writeString(mCertificate, "half a file");
        check();
        assertThat(tls.get()).isSameInstanceAs(first);
        Files.delete(mCertificate);
        check();
        assertThat(tls.get()).isSameInstanceAs(first);
        copy("stranger-cert.pem", mCertificate);
        copy("stranger-key.pem", mKey);
        check();
        assertThat(tls.get()).isNotSameInstanceAs(first);
    }

    @Example
    void filesThatCanNotBeUsedAtTheStartAreAnError() throws IOException {
        Files.writeString(mKey, "no key");
        try {
            throw new AssertionError(ListenerTls.open("callers", mCertificate, mKey, mScheduler));
        } catch (CatkinException e) {
            assertThat(e.code()).isEqualTo(ErrorCode.INVALID_SETTINGS);
            assertThat(e).hasMessageThat().contains("tls.callers");
        }
    }

    private void check() {
        mScheduler.advanceTimeBy(ListenerTls.CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static Certificate shownBy(int port) throws IOException, GeneralSecurityException {
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, new TrustManager[] {new TrustAll()}, null);
        try (SSLSocket socket =
                (SSLSocket) context.getSocketFactory().createSocket("127.0.0.1", port)) {
            socket.startHandshake();
            return socket.getSession().getPeerCertificates()[0];
        }
    }

    private static Certificate certificate(String name)
            throws IOException, GeneralSecurityException {
        try (InputStream in = resource(name)) {
            return CertificateFactory.getInstance("X.509").generateCertificate(in);
        }
    }

    private static void copy(String name, Path file) throws IOException {
        try (InputStream in = resource(name)) {
            Files.write(file, in.readAllBytes());
        }
    }

    private static InputStream resource(String name) {
        return ListenerTlsTest.class.getResourceAsStream("/org/catkinproxy/peer/" + name);
    }

    /** Looks at certificates without judging them. Stateless. */
    private static final class TrustAll implements X509TrustManager {
        @Override
        public void checkClientTrusted(X509Certificate[] chain, String type) {}

        @Override
        public void checkServerTrusted(X509Certificate[] chain, String type) {}

        @Override
        public X509Certificate[] getAcceptedIssuers() {
            return new X509Certificate[0];
        }
    }
}
