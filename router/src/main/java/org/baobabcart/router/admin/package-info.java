/** The operators' HTTP API: health, readiness, metrics, time line, status and the planned stop. */
package org.baobabcart.router.admin;
