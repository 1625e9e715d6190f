/** Dependencies that the parts of an RPC endpoint share. */
import type { LinkPacers } from "../runtime/link-pacer.js";
import type { Runtime } from "../runtime/runtime.js";
import type { ProtocolGuard } from "./protocol-guard.js";

/** Dependencies that the outgoing connections and the server of one endpoint share. */
export interface RpcContext {
  readonly runtime: Runtime;
  readonly pacers: LinkPacers;
  readonly guard: ProtocolGuard;
  /** The newest frame version that the endpoint uses. */
  readonly newestVersion: number;
}
