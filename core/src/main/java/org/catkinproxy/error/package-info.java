/**
 * The unchecked exception that carries code, step, peer and outcome, and the enums it is made of.
 *
 * <p>Everything here is immutable. Depends on nothing else of the product.
 */
package org.catkinproxy.error;
