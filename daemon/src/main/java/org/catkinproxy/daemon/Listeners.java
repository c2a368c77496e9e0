package org.catkinproxy.daemon;

import org.catkinproxy.http.HttpLimits;
import org.catkinproxy.http.HttpListener;
import org.catkinproxy.settings.Limits;
import org.catkinproxy.settings.Listener;
import org.catkinproxy.settings.TlsFiles;
import org.catkinproxy.tls.ReloadingTlsContext;

import io.jooby.Jooby;
import io.netty.handler.ssl.SslContext;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;

import java.util.function.Consumer;
import java.util.function.Supplier;

/** Opens HTTP listeners as the settings say. Used by one thread. */
final class Listeners {
    /** Callers may hold connections without a request, as pools do. */
    private static final int CONNECTIONS_PER_REQUEST = 2;

    private final Limits mLimits;
    private final CompositeDisposable mReloads;

    /**
     * Creates an opener.
     *
     * @param reloads takes the tasks that reload TLS keys
     */
    Listeners(Limits limits, CompositeDisposable reloads) {
        mLimits = limits;
        mReloads = reloads;
    }

    HttpListener open(String name, Listener listener, Consumer<Jooby> routes) {
        return HttpListener.open(
                listener.host(),
                listener.port(),
                new HttpLimits(
                        mLimits.maxBodyBytes(),
                        mLimits.maxHeaderBytes(),
                        (int) mLimits.bodyReadTimeout().toMillis(),
                        CONNECTIONS_PER_REQUEST * mLimits.maxConcurrentRequests()),
                listener.tls().map(files -> openTls(name, files)),
                routes);
    }

    private Supplier<SslContext> openTls(String name, TlsFiles files) {
        ReloadingTlsContext tls =
                ReloadingTlsContext.open(name, files.certificate(), files.key(), Schedulers.io());
        mReloads.add(tls);
        return tls;
    }
}
