package org.catkinproxy.standin.platform;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Named bytes that are written once. Safe for use by any thread. */
final class Objects {
    private final Map<String, byte[]> mObjects = new ConcurrentHashMap<>();

    /** Writes bytes and tells whether the name now stands for just these. */
    boolean put(String name, byte[] content) {
        byte[] earlier = mObjects.putIfAbsent(name, content.clone());
        return earlier == null || Arrays.equals(earlier, content);
    }

    Optional<byte[]> get(String name) {
        return Optional.ofNullable(mObjects.get(name)).map(byte[]::clone);
    }

    List<String> present(List<String> names) {
        return names.stream().filter(mObjects::containsKey).toList();
    }
}
