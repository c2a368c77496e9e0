package org.catkinproxy.cli;

import okhttp3.OkHttpClient;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;

import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManager;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509TrustManager;

/**
 * Creates HTTP clients that trust the certificates of a PEM file only. Stateless and thread-safe.
 */
final class PemTrust {
    private PemTrust() {}

    static OkHttpClient createClient(Path file) {
        try {
            X509TrustManager trust = loadTrustManager(file);
            SSLContext context = SSLContext.getInstance("TLS");
            context.init(null, new TrustManager[] {trust}, null);
            return new OkHttpClient.Builder()
                    .sslSocketFactory(context.getSocketFactory(), trust)
                    .build();
        } catch (IOException | GeneralSecurityException e) {
            throw new CliException(
                    ExitCode.USAGE,
                    "--trust: " + file + " is not a readable file of PEM certificates");
        }
    }

    private static X509TrustManager loadTrustManager(Path file)
            throws IOException, GeneralSecurityException {
        KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
        store.load(null, null);
        try (InputStream in = Files.newInputStream(file)) {
            int index = 0;
            for (Certificate c : CertificateFactory.getInstance("X.509").generateCertificates(in)) {
                store.setCertificateEntry("certificate-" + index++, c);
            }
        }
        TrustManagerFactory factory =
                TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        factory.init(store);
        return (X509TrustManager) factory.getTrustManagers()[0];
    }
}
