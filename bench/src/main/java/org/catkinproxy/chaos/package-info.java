/**
 * Runs real processes under failures and counts broken promises.
 *
 * <p>The order, the targets and the lengths of the failures follow from the seed alone. Callers
 * behave as the interface page asks; what they receive is compared with what the engines generate
 * and what the plain services executed.
 */
package org.catkinproxy.chaos;
