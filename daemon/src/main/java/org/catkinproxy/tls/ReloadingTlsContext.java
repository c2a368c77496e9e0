package org.catkinproxy.tls;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Supplies the TLS context of a listener and reloads it when its certificate or key file changes.
 *
 * <p>If the files are invalid, for example because only one of them has been replaced so far, the
 * current context stays in use until both are valid. Connections keep the certificate and key that
 * they were opened with.
 *
 * <p>Thread-safe; {@link #get} does no I/O.
 */
public final class ReloadingTlsContext implements Supplier<SslContext>, Disposable {
    /** The interval at which the files are checked for changes. */
    public static final Duration CHECK_INTERVAL = Duration.ofSeconds(2);

    private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

    private final String mListenerName;
    private final Path mCertificateFile;
    private final Path mKeyFile;
    private final Disposable mCheckSubscription;
    private HashCode mLastDigest;
    private volatile SslContext mContext;

    private ReloadingTlsContext(
            String listenerName, Path certificateFile, Path keyFile, Scheduler scheduler) {
        mListenerName = checkNotNull(listenerName, "listenerName");
        mCertificateFile = checkNotNull(certificateFile, "certificateFile");
        mKeyFile = checkNotNull(keyFile, "keyFile");
        loadInitial();
        mCheckSubscription =
                Flowable.interval(CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS, scheduler)
                        .onBackpressureDrop()
                        .subscribe(tick -> reloadIfChanged());
    }

    /**
     * Loads the files and starts to check them for changes.
     *
     * @param listenerName the listener's name in log events and errors
     * @param certificateFile a PEM file with the certificate chain
     * @param keyFile a PEM file with the private key in PKCS#8 format
     * @param scheduler the scheduler that runs the checks, which do blocking I/O
     * @throws CatkinException with code {@code INVALID_SETTINGS} if the files are invalid
     */
    public static ReloadingTlsContext open(
            String listenerName, Path certificateFile, Path keyFile, Scheduler scheduler) {
        return new ReloadingTlsContext(listenerName, certificateFile, keyFile, scheduler);
    }

    @Override
    public SslContext get() {
        return mContext;
    }

    @Override
    public void dispose() {
        mCheckSubscription.dispose();
    }

    @Override
    public boolean isDisposed() {
        return mCheckSubscription.isDisposed();
    }

    private void loadInitial() {
        try {
            PemFiles files = readFiles();
            mContext = buildContext(files);
            mLastDigest = files.digest();
        } catch (IOException | RuntimeException e) {
            throw CatkinException.of(
                    ErrorCode.INVALID_SETTINGS,
                    Step.SETTINGS,
                    CatkinException.NO_PEER,
                    Outcome.NOT_RUN,
                    "tls."
                            + mListenerName
                            + ": found files that cannot be loaded, wants a PEM"
                            + " certificate chain and its PKCS#8 private key",
                    e);
        }
    }

    private synchronized void reloadIfChanged() {
        try {
            PemFiles files = readFiles();
            if (files.digest().equals(mLastDigest)) {
                return;
            }
            mLastDigest = files.digest();
            mContext = buildContext(files);
            EventLog.log(LogEvent.TLS_RELOADED, mListenerName);
        } catch (IOException | RuntimeException e) {
            EventLog.log(LogEvent.TLS_RELOAD_FAILED, mListenerName, e.getClass().getSimpleName());
        }
    }

    private PemFiles readFiles() throws IOException {
        return new PemFiles(Files.readAllBytes(mCertificateFile), Files.readAllBytes(mKeyFile));
    }

    private static SslContext buildContext(PemFiles files) throws IOException {
        return SslContextBuilder.forServer(
                        new ByteArrayInputStream(files.certificate()),
                        new ByteArrayInputStream(files.key()))
                .protocols(PROTOCOLS)
                .build();
    }

    /** The contents of the certificate file and the key file; the arrays are never changed. */
    private record PemFiles(byte[] certificate, byte[] key) {
        HashCode digest() {
            return Hashing.sha256()
                    .newHasher()
                    .putInt(certificate.length)
                    .putBytes(certificate)
                    .putBytes(key)
                    .hash();
        }
    }
}
