#ifndef DAMASKYARD_LIST_H
#define DAMASKYARD_LIST_H

/*
 * Intrusive doubly linked list: the link is a member of the item, so that
 * insertion allocates nothing and removal takes constant time.
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

/* Returns the item whose link is node. */
#define DY_LIST_ITEM(node, type, member) \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

/* Loop over the links of a list. The body must not remove pos. */
#define DY_LIST_EACH(pos, head) \
	for ((pos) = (head)->next; (pos) != (head); (pos) = (pos)->next)

/* The same; the body may remove pos. tmp holds the next link. */
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

/* Remove node from its list and make it an empty list. */
static inline void dy_list_remove(dy_list_t *node)
{
	node->prev->next = node->next;
	node->next->prev = node->prev;
	dy_list_init(node);
}

#endif
