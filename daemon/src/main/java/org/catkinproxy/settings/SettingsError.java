package org.catkinproxy.settings;

/**
 * One thing wrong with a settings file.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param key the key, with its tables before it
 * @param found what the file holds, never a secret
 * @param wants what should be there
 */
record SettingsError(String key, String found, String wants) {
    @Override
    public String toString() {
        return key + ": found " + found + ", wants " + wants;
    }
}
