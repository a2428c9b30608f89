/** Decides which queued work is dispatched next and which is refused. */
package org.baobabcart.policy.admission;
