/**
 * Immutable data types of all modules: result codes, the sheet, requests and platform objects.
 *
 * <p>This package and its subpackages perform no network or file access, read no clock and start no threads.
 */
package org.baobabcart.model;
