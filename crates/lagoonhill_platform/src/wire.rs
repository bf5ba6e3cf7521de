//! JSON messages of the etcd v3 API that are used here, as defined by the
//! documentation of its gateway: keys and values in base64, 64-bit integers as
//! strings, defaults omitted.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use log::warn;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use serde_json::value::RawValue;

/// Bytes, encoded in base64 on the wire.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Base64(pub Vec<u8>);

impl From<&str> for Base64 {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(de::Error::custom)
    }
}

/// A 64-bit integer, encoded as a string on the wire; a JSON number is accepted too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Int64(pub i64);

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map(Self).map_err(de::Error::custom),
        }
    }
}

/// Reads elements one by one; a malformed one is logged and skipped.
fn readable<'de, T, D>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    T: DeserializeOwned,
    D: Deserializer<'de>,
{
    let elements: Vec<Box<RawValue>> = Vec::deserialize(deserializer)?;
    let read = |element: Box<RawValue>| {
        let decoded = serde_json::from_str(element.get());
        decoded
            .inspect_err(|error| {
                let quoted: String = element.get().chars().take(MAX_QUOTED).collect();
                warn!("skipped a malformed item of the store: {quoted}: {error}; remove it if it is not of this system");
            })
            .ok()
    };
    Ok(elements.into_iter().filter_map(read).collect())
}

/// Number of characters of an item that a warning quotes.
const MAX_QUOTED: usize = 160;

/// `RangeRequest`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key of the range.
    pub key: Base64,
    /// End of the range, exclusive; absent for one key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
}

/// `KeyValue`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Base64,
    /// The value.
    pub value: Base64,
    /// The store's revision at the last change.
    pub mod_revision: Int64,
    /// The store's revision at the creation of the key.
    pub create_revision: Int64,
}

/// `ResponseHeader`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The store's revision when it responded.
    pub revision: Int64,
}

/// `RangeResponse`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The response header.
    pub header: Header,
    /// The values found in the range.
    #[serde(deserialize_with = "readable")]
    pub kvs: Vec<KeyValue>,
}

/// `Compare`, restricted to equality of a key's last revision.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The attribute compared: `MOD`.
    pub target: String,
    /// The comparison: `EQUAL`.
    pub result: String,
    /// The key.
    pub key: Base64,
    /// The expected revision of the last change; 0 for an absent key.
    pub mod_revision: Int64,
}

/// `PutRequest`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Base64,
    /// The value.
    pub value: Base64,
    /// Id of the lease that the key is attached to; 0 for none.
    pub lease: Int64,
}

/// `DeleteRangeRequest`, for one key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// The key.
    pub key: Base64,
}

/// `RequestOp`; one of the fields is set.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Sets a value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Reads a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// Deletes a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRequest>,
}

/// `TxnRequest`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// Operations to execute if the conditions hold.
    pub success: Vec<RequestOp>,
    /// Operations to execute otherwise.
    pub failure: Vec<RequestOp>,
}

/// `ResponseOp`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// Response to a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// `TxnResponse`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The response header.
    pub header: Header,
    /// Whether the conditions held.
    pub succeeded: bool,
    /// One response for each operation executed.
    pub responses: Vec<ResponseOp>,
}

/// `LeaseGrantRequest` and its response; also the request to renew or revoke a lease.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// Id of the lease; 0 lets the store choose.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Time to live in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// `LeaseKeepAliveResponse`, as a line of its stream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeepAliveResponse {
    /// The lease; a time to live of 0 means that it has ended.
    pub result: Lease,
}

/// `WatchCreateRequest`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key of the range.
    pub key: Base64,
    /// End of the range, exclusive.
    pub range_end: Base64,
    /// First revision to report.
    pub start_revision: Int64,
}

/// `WatchRequest`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The watch to open.
    pub create_request: WatchCreate,
}

/// `Event`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// `DELETE`, or omitted for a put.
    #[serde(rename = "type", skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// The key and, for a put, its new value.
    pub kv: KeyValue,
}

/// `WatchResponse`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The response header.
    pub header: Header,
    /// Set on the first response, which confirms the watch.
    pub created: bool,
    /// The changes.
    #[serde(deserialize_with = "readable")]
    pub events: Vec<Event>,
}

/// One line of a watch's stream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchLine {
    /// The response.
    pub result: WatchResponse,
}

/// Returns the exclusive end of the range of all keys that start with `prefix`.
pub fn prefix_end(prefix: &str) -> Base64 {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Base64(end);
        }
    }
    Base64(vec![0])
}
