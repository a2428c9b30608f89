/** The list of VMs: read by a few routers of each data centre and spread between peers as differences. */
package org.baobabcart.router.machine;
