/** Conversion between ticket hand-overs and protocol messages. */
import {TicketState} from '@buckthornbeam/decisions';
import type {TicketHandOver, TicketRecord} from '@buckthornbeam/decisions';
import type {
  AdoptTicketsRequest,
  TicketRecord as TicketRecordMessage,
} from '@buckthornbeam/protocol';
import {create} from '@bufbuild/protobuf';
import {AdoptTicketsRequestSchema} from '@buckthornbeam/protocol';
import type {Outcome} from '@buckthornbeam/shared';

function toRecord({sequence, result}: TicketRecordMessage): TicketRecord {
  return {
    sequence,
    state: TicketState.DONE,
    ...(result
      ? {result: {...result, outcome: result.outcome as Outcome}}
      : {}),
  };
}

export function toHandOver(request: AdoptTicketsRequest): TicketHandOver {
  return {...request, records: request.records.map(toRecord)};
}

export function toAdoptRequest(handOver: TicketHandOver): AdoptTicketsRequest {
  return create(AdoptTicketsRequestSchema, handOver);
}
