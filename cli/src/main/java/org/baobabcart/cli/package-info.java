/** The operators' command line. */
package org.baobabcart.cli;
