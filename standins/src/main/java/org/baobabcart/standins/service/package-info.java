/** Stand-ins for plain services and for the service that rates answers. */
package org.baobabcart.standins.service;
