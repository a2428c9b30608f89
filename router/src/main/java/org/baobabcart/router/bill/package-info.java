/** Bills kept beyond the life of one VM. */
package org.baobabcart.router.bill;
