/**
 * Immutable data shared by every part of the system: result codes, the sheet, requests and platform objects.
 *
 * <p>Nothing here does input or output, reads a clock or starts a thread.
 */
package org.baobabcart.model;
