/** What the command-line programs of this module share. Depends on nothing else of the project. */
package org.catkinproxy.tool;
