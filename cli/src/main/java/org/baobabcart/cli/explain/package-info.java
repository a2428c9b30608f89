/** Reconstructs the course and outcome of a request from the log files of several routers. */
package org.baobabcart.cli.explain;
