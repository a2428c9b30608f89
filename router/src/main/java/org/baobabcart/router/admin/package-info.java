/** The operators' HTTP port: health, metrics, time line, status and the planned stop. */
package org.baobabcart.router.admin;
