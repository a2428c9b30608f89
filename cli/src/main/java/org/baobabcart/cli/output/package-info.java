/** Output of results as tables and JSON. */
package org.baobabcart.cli.output;
