#ifndef DAMASKYARD_LIST_H
#define DAMASKYARD_LIST_H

/*
 * Intrusive doubly linked list: the link stands inside the item, so that
 * linking allocates nothing and an item can leave its list in one step.
 *
 *	dy_list_t head;
 *	dy_list_init(&head);
 *	dy_list_append(&head, &item->link);
 *	item = DY_LIST_ITEM(head.next, item_t, link);
 */

#include <stddef.h>

typedef struct dy_list {
	struct dy_list *prev;
	struct dy_list *next;
} dy_list_t;

#define DY_LIST_ITEM(node, type, member) \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

#define DY_LIST_EACH(pos, head) \
	for ((pos) = (head)->next; (pos) != (head); (pos) = (pos)->next)

/* Allows the body to remove pos. */
#define DY_LIST_EACH_SAFE(pos, tmp, head)                                \
	for ((pos) = (head)->next, (tmp) = (pos)->next; (pos) != (head); \
	     (pos) = (tmp), (tmp) = (pos)->next)

static inline void dy_list_init(dy_list_t *head)
{
	head->prev = head;
	head->next = head;
}

static inline int dy_list_empty(const dy_list_t *head)
{
	return head->next == head;
}

static inline void dy_list_append(dy_list_t *head, dy_list_t *node)
{
	node->prev = head->prev;
	node->next = head;
	head->prev->next = node;
	head->prev = node;
}

/* Remove node from its list; node is left as an empty list of its own. */
static inline void dy_list_remove(dy_list_t *node)
{
	node->prev->next = node->next;
	node->next->prev = node->prev;
	dy_list_init(node);
}

#endif
