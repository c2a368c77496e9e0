/** The stand-in for the platform: table service, object store, instance list, weights, KV. */
package org.catkinproxy.standin.platform;
