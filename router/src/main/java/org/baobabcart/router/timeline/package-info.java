/** The events of a process: their types and fields, the time line that keeps them and the log that writes them. */
package org.baobabcart.router.timeline;
