package org.catkinproxy.daemon;

import org.catkinproxy.platform.HttpInstanceList;
import org.catkinproxy.platform.HttpObjectStore;
import org.catkinproxy.platform.HttpTableService;
import org.catkinproxy.platform.InstanceList;
import org.catkinproxy.platform.ObjectStore;
import org.catkinproxy.platform.PlatformClient;
import org.catkinproxy.platform.TableService;
import org.catkinproxy.settings.PlatformSettings;

import java.net.URI;

/**
 * The platform's services that an instance uses.
 *
 * <p>Immutable, and as safe for use by any thread as its parts, which all are.
 *
 * @param table the table service
 * @param objects the object store
 * @param instances the instance list
 */
record Platform(TableService table, ObjectStore objects, InstanceList instances) {
    static Platform of(PlatformSettings settings) {
        return new Platform(
                HttpTableService.create(client(settings.table(), settings)),
                HttpObjectStore.create(client(settings.objects(), settings)),
                HttpInstanceList.create(client(settings.instances(), settings)));
    }

    private static PlatformClient client(URI base, PlatformSettings settings) {
        return PlatformClient.create(base.toString(), settings.callTimeout());
    }
}
