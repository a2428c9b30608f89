/** Stand-ins for plain services and for the service that rates responses. */
package org.baobabcart.standins.service;
