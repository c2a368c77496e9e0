/**
 * The task that holds leases on pools of engines and gives the engines their orders.
 *
 * <p>The decisions are {@code org.catkinproxy.order}'s. May use {@code id}, {@code error}, {@code
 * config} and {@code order} of the core, and {@code observe}, {@code platform} and {@code task}.
 */
package org.catkinproxy.orders;
