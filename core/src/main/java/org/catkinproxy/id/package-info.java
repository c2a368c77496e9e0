/** Placeholder. */
package org.catkinproxy.id;
