/** The control thread and the blackboard, timers and controllers that use it. */
package org.baobabcart.router.control;
