#ifndef STANDIN_COMMON_RPC_H
#define STANDIN_COMMON_RPC_H

#include <rpc/rpc.h>

/* xdr_void() lacks the parameters of xdrproc_t, so it needs two casts. */
#define STANDIN_XDR_VOID ((xdrproc_t)(void (*)(void))xdr_void)

#endif
