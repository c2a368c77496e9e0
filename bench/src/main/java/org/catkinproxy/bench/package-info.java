/** Placeholder. */
package org.catkinproxy.bench;
