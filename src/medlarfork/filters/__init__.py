"""The filters of the request pipeline."""
