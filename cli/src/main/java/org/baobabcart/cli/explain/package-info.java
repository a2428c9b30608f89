/** What became of one request, read from the log files of several routers. */
package org.baobabcart.cli.explain;
