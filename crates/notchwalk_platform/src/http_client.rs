//! HTTP client of the platform.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use notchwalk_http::prelude::*;
use notchwalk_wire::{
    TableRead, TableReadResponse, TableTransaction, TableTransactionResponse, VmRecord,
};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::{ObjectStore, PlatformError, PlatformFuture, TableStore, VmList, WeightStore};

const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_200);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// An HTTP client of the platform at one address.
pub struct HttpPlatform {
    client: Client,
    addr: SocketAddr,
}

#[derive(Serialize, Deserialize)]
struct WeightReservation {
    wait_s: f64,
}

/// Decodes a record of the VM list. Records are decoded one by one, so that a faulty one does
/// not hide the others.
fn vm_record(record: serde_json::Value) -> Option<VmRecord> {
    match serde_json::from_value(record) {
        Ok(record) => Some(record),
        Err(e) => {
            log::warn!("skipped a malformed record of the VM list: {e}");
            None
        }
    }
}

impl HttpPlatform {
    /// Creates a client.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    async fn call(&self, req: OutgoingRequest) -> Result<BufferedResponse, PlatformError> {
        let sent = self
            .client
            .send(self.addr, req, REQUEST_TIMEOUT, MAX_RESPONSE_BYTES)
            .await;
        let response = sent.map_err(|e| match e.is_unsent() {
            true => PlatformError::Unreachable(e.to_string()),
            false => PlatformError::NoAnswer(e.to_string()),
        })?;
        let status = response.status;
        if status.is_success() || status == StatusCode::NOT_FOUND {
            return Ok(response);
        }
        Err(PlatformError::Refused(status.to_string()))
    }

    async fn call_json<T: DeserializeOwned>(
        &self,
        req: OutgoingRequest,
    ) -> Result<T, PlatformError> {
        let response = self.call(req).await?;
        response
            .json()
            .map_err(|e| PlatformError::NoAnswer(e.to_string()))
    }
}

impl TableStore for HttpPlatform {
    fn transact(&self, tx: TableTransaction) -> PlatformFuture<'_, TableTransactionResponse> {
        let req = OutgoingRequest::new(Method::POST, "/table/transaction").with_json(&tx);
        Box::pin(self.call_json(req))
    }

    fn read(&self, read: TableRead) -> PlatformFuture<'_, TableReadResponse> {
        let req = OutgoingRequest::new(Method::POST, "/table/read").with_json(&read);
        Box::pin(self.call_json(req))
    }
}

impl ObjectStore for HttpPlatform {
    fn put(&self, key: String, data: Bytes) -> PlatformFuture<'_, ()> {
        let req = OutgoingRequest::new(Method::PUT, format!("/objects/{key}")).with_body(data);
        Box::pin(async move { self.call(req).await.map(|_| ()) })
    }

    fn get(&self, key: String) -> PlatformFuture<'_, Option<Bytes>> {
        let req = OutgoingRequest::new(Method::GET, format!("/objects/{key}"));
        Box::pin(async move {
            let response = self.call(req).await?;
            Ok((response.status != StatusCode::NOT_FOUND).then_some(response.body))
        })
    }
}

impl VmList for HttpPlatform {
    fn vms(&self) -> PlatformFuture<'_, Vec<VmRecord>> {
        Box::pin(async move {
            let records: Vec<serde_json::Value> = self
                .call_json(OutgoingRequest::new(Method::GET, "/vms"))
                .await?;
            Ok(records.into_iter().filter_map(vm_record).collect())
        })
    }
}

impl WeightStore for HttpPlatform {
    fn reserve(&self, bytes: u64) -> PlatformFuture<'_, f64> {
        let path = format!("/weights/reserve?bytes={bytes}");
        let req = OutgoingRequest::new(Method::POST, path);
        Box::pin(async move {
            let reservation: WeightReservation = self.call_json(req).await?;
            Ok(reservation.wait_s)
        })
    }
}
