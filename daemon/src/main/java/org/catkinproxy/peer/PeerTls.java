package org.catkinproxy.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.settings.TlsFiles;

import io.netty.handler.ssl.JdkSslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;

import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;

/**
 * Mutual TLS between daemons, from PEM files that may be replaced while the daemon runs.
 *
 * <p>A peer is whoever has a certificate that leads to the trusted ones; addresses are not checked
 * against it, since instances are replaced under new ones. Safe for use by any thread.
 */
final class PeerTls {
    private static final String[] PROTOCOLS = {"TLSv1.3"};

    private final TlsFiles mFiles;
    private SSLContext mContext;
    private long mStamp;

    PeerTls(TlsFiles files) {
        mFiles = checkNotNull(files, "files");
        trust();
    }

    /** Puts TLS on a connection that was accepted; the handshake comes with the first read. */
    Socket accept(Socket plain) throws IOException {
        SSLSocket socket = wrap(plain);
        socket.setUseClientMode(false);
        socket.setNeedClientAuth(true);
        return socket;
    }

    /** Puts TLS on a connection that was made, and shakes hands. */
    Socket connect(Socket plain) throws IOException {
        SSLSocket socket = wrap(plain);
        socket.setUseClientMode(true);
        socket.startHandshake();
        return socket;
    }

    private SSLSocket wrap(Socket plain) throws IOException {
        String host = plain.getInetAddress().getHostAddress();
        SSLSocket socket =
                (SSLSocket)
                        context()
                                .getSocketFactory()
                                .createSocket(plain, host, plain.getPort(), true);
        socket.setEnabledProtocols(PROTOCOLS);
        return socket;
    }

    private synchronized SSLContext context() throws IOException {
        long stamp = stamp(mFiles.certificate()) + stamp(mFiles.key()) + stamp(trust());
        if (mContext == null || stamp != mStamp) {
            JdkSslContext built =
                    (JdkSslContext)
                            SslContextBuilder.forServer(
                                            mFiles.certificate().toFile(), mFiles.key().toFile())
                                    .trustManager(trust().toFile())
                                    .sslProvider(SslProvider.JDK)
                                    .build();
            mContext = built.context();
            mStamp = stamp;
        }
        return mContext;
    }

    private Path trust() {
        return mFiles.trust()
                .orElseThrow(
                        () ->
                                CatkinException.of(
                                        ErrorCode.INVALID_SETTINGS,
                                        Step.SETTINGS,
                                        CatkinException.NO_PEER,
                                        Outcome.NOT_RUN,
                                        "TLS between daemons needs the trusted certificates",
                                        null));
    }

    private static long stamp(Path file) throws IOException {
        return Files.getLastModifiedTime(file).toMillis() * 31 + Files.size(file);
    }
}
