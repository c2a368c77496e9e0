/** Placeholder. */
package org.catkinproxy.standin;
