import { create, enums, object, string, type Infer } from "superstruct";
import type { ConsensusState, DecisionContext } from "./state.js";

const markerShape = object({ kind: enums(["rejoined"]), machine: string(), nonce: string() });

/** The entry whose commit ends a member's rejoining. */
export type RejoinMarker = Infer<typeof markerShape>;

/** The mark that an entry sets, or undefined where it sets none. */
export const rejoinMarkerIn = (text: string): RejoinMarker | undefined =>
  text.startsWith('{"kind":"rejoined"') ? create(JSON.parse(text), markerShape) : undefined;

/** The entry that marks a member's rejoining under a nonce. */
export const rejoinMarkerEntryText = (machine: string, nonce: string): string =>
  JSON.stringify({ kind: "rejoined", machine, nonce });

/**
 * Whether a committed mark ends this member's rejoining. A mark of an earlier rejoining doesn't: the member may have
 * acknowledged entries after it, and lost them since.
 */
export const completesRejoin = (
  state: ConsensusState,
  mark: RejoinMarker,
  { rules }: Pick<DecisionContext, "rules">,
): boolean =>
  state.rejoinNonce !== "" &&
  mark.machine === state.self &&
  (mark.nonce === state.rejoinNonce || !rules.rejoinOnlyByOwnNonce);

/** The state of a member that counts again; the cleared nonce must be on disk. */
export const afterRejoin = (state: ConsensusState): ConsensusState => ({
  ...state,
  rejoinNonce: "",
});
