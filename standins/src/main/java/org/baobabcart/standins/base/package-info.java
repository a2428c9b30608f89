/** Common parts of all stand-ins: settings, HTTP server, log of started requests and fault injection. */
package org.baobabcart.standins.base;
