package org.catkinproxy.platform;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Maybe;

/**
 * The platform's object store; objects are written once and never changed.
 *
 * <p>Every failure is a {@link org.catkinproxy.error.CatkinException} with code {@code
 * STORE_UNAVAILABLE}. Implementations are safe for use by any thread.
 */
public interface ObjectStore {
    /** Writes an object; writing the same name with the same content again is no error. */
    Completable put(String name, byte[] content);

    /** Reads an object; empty if there is none. */
    Maybe<byte[]> get(String name);
}
