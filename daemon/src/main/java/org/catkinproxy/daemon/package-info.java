/** Placeholder. */
package org.catkinproxy.daemon;
