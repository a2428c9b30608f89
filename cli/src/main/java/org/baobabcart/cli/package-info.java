/** The operators' command line: the entry point, the commands' common interface and exit codes. */
package org.baobabcart.cli;
