#ifndef STANDIN_COMMON_RPC_H
#define STANDIN_COMMON_RPC_H

/* Types and macros of ONC RPC for the stand-ins. */

#include <rpc/rpc.h>

/*
 * XDR routine for no data. xdr_void() lacks the parameters of xdrproc_t, so it
 * needs two casts.
 */
#define STANDIN_XDR_VOID ((xdrproc_t)(void (*)(void))xdr_void)

#endif
