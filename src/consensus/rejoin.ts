/** How a member that lost its disk comes to count again. */
import { create, enums, object, string, type Infer } from "superstruct";
import type { ConsensusState, DecisionContext } from "./state.js";

const markerShape = object({ kind: enums(["rejoined"]), machine: string(), nonce: string() });

/** The entry whose commit completes a member's rejoin. */
export type RejoinMarker = Infer<typeof markerShape>;

/** The marker in an entry's text, if it is one. */
export const parseRejoinMarker = (text: string): RejoinMarker | undefined =>
  text.startsWith('{"kind":"rejoined"') ? create(JSON.parse(text), markerShape) : undefined;

/** The text of the entry that marks a member's rejoin under a nonce. */
export const rejoinMarkerEntryText = (machine: string, nonce: string): string =>
  JSON.stringify({ kind: "rejoined", machine, nonce });

/**
 * Whether a committed marker completes this member's rejoin. A marker of an earlier rejoin doesn't: the member may have
 * acknowledged entries after it, and lost them since.
 */
export const completesRejoin = (
  state: ConsensusState,
  marker: RejoinMarker,
  { rules }: Pick<DecisionContext, "rules">,
): boolean =>
  state.rejoinNonce !== "" &&
  marker.machine === state.self &&
  (marker.nonce === state.rejoinNonce || !rules.rejoinOnlyByOwnNonce);

/** The state of a member that counts again; the cleared nonce must be on disk. */
export const stateAfterRejoin = (state: ConsensusState): ConsensusState => ({
  ...state,
  rejoinNonce: "",
});
