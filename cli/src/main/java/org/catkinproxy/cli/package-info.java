/** Placeholder. */
package org.catkinproxy.cli;
